package observe

import "hash/fnv"

// sampleEvery sets the rate of sampling: one job in sampleEvery is sampled.
const sampleEvery = 20

// Sampled reports whether every step of a job is logged. It depends only on the ID of
// the job, so that all processes log the same jobs.
func Sampled(job string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(job))
	return h.Sum32()%sampleEvery == 0
}
