package pimmesh

import "testing"

// FuzzDecode guards against a message of another VM that ends the process or is accepted without content that it can be encoded
// with again.
func FuzzDecode(f *testing.F) {
	for _, m := range []Message{
		{Heartbeat: &Heartbeat{Name: "vm-1", DataCentre: "ikeja", Revision: 5, Claim: &Claim{Hash: 3}, Loads: []HostLoad{{ID: 7, Busy: 120}}}},
		{Pull: &Pull{Since: 4, Chunks: []int{1, 2}}},
		{Chunk: &Chunk{From: 1, To: 2, Count: 1, Data: []byte("x")}},
		{},
	} {
		data, err := Encode(&m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m Message
		if err := Decode(data, &m); err != nil {
			return
		}
		if _, err := Encode(&m); err != nil {
			t.Fatal(err)
		}
		_, _ = Inflate(data) // most data is damaged
	})
}
