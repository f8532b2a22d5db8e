package main

import (
	"runtime"
	"time"
)

// liveBytes returns by how many bytes the live heap grows when build is called and its result is kept.
func liveBytes[T any](build func() T) float64 {
	before := heapInUse()
	kept := build()
	after := heapInUse()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func heapInUse() uint64 {
	// The second collection frees what finalizers and pools still held during the first one.
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// perOp calls run n times and returns the mean time of one call in nanoseconds.
func perOp(n int, run func(i int)) float64 {
	start := time.Now()
	for i := range n {
		run(i)
	}
	return float64(time.Since(start).Nanoseconds()) / float64(n)
}
