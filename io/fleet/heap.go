package fleet

import runtimemetrics "runtime/metrics"

// heapBytes returns the size of the heap in bytes, with objects that are not collected
// yet.
func heapBytes() uint64 {
	sample := []runtimemetrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	runtimemetrics.Read(sample)
	return sample[0].Value.Uint64()
}
