package observe

import "hash/fnv"

// sampleShare is the share of requests, one in so many, whose whole course is
// logged by every process that touches them.
const sampleShare = 20

// Sampled reports whether the whole course of a request is logged. All
// processes say the same of a request.
func Sampled(request string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(request))
	return h.Sum32()%sampleShare == 0
}
