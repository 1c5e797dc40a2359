package scheduler

// protectedJobs are the jobs that were placed after too long a wait and so are not preempted.
type protectedJobs struct {
	jobs        map[*Job]bool
	shareByRank [highestRank + 1]float64 // the share of the shard's CPUs that they use, by rank
}

// add protects a job from preemption.
func (p *protectedJobs) add(j *Job) {
	j.protected = true
	p.jobs[j] = true
}

// remove removes a job that the shard no longer holds.
func (p *protectedJobs) remove(j *Job) { delete(p.jobs, j) }

// updateShares recomputes shareByRank; cpus is the number of CPUs of the shard's machines.
func (p *protectedJobs) updateShares(cpus float64) {
	p.shareByRank = [highestRank + 1]float64{}
	for j := range p.jobs {
		if cpus > 0 {
			p.shareByRank[j.rank] += float64(j.progress.placed) * j.spec.CPUs / cpus
		}
	}
}
