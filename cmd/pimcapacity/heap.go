package main

import (
	"runtime"
	"time"
)

// liveBytes returns the heap bytes that build keeps reachable.
func liveBytes[T any](build func() T) float64 {
	before := heapInUse()
	kept := build()
	after := heapInUse()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func heapInUse() uint64 {
	// Two collections also free what finalizers and pools held at the first.
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// perOp returns the mean time of n runs in nanoseconds.
func perOp(n int, run func(i int)) float64 {
	start := time.Now()
	for i := range n {
		run(i)
	}
	return float64(time.Since(start).Nanoseconds()) / float64(n)
}
