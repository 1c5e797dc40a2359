package scheduler

// protectedJobs are those that were placed after too long a wait, and are not preempted.
type protectedJobs struct {
	jobs map[*Job]bool
	load [highestRank + 1]float64 // the share of the machines that they hold, by priority
}

// add protects a job from preemption.
func (p *protectedJobs) add(j *Job) {
	j.protected = true
	p.jobs[j] = true
}

// remove forgets a job.
func (p *protectedJobs) remove(j *Job) { delete(p.jobs, j) }

// weigh computes the share of the shard's machines, which have so many CPUs, that protected
// jobs hold.
func (p *protectedJobs) weigh(cpus float64) {
	p.load = [highestRank + 1]float64{}
	for j := range p.jobs {
		if cpus > 0 {
			p.load[j.rank] += float64(j.progress.placed) * j.spec.CPUs / cpus
		}
	}
}
