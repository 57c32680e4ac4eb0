package planner

// Every start of a task gets a run number of its own, whoever the owner is. An
// owner gives inherited tasks numbers from its term on, and no number above the end
// of the state table. The next owner's term lies above that end, so its numbers are
// higher than all that earlier owners have given, stored or not.

// nextRun returns the number of the next run of a task, or the common one of the
// members of a gang.
func (p *Planner) nextRun(tasks ...*task) int {
	number := 1
	for _, t := range tasks {
		number = max(number, t.lastRun+1)
		if t.step.job.inherited {
			number = max(number, int(p.settings.Term))
		}
	}

	return number
}

// mayGive reports whether no later owner gives the run number.
func (p *Planner) mayGive(number int) bool { return int64(number) <= p.tableEnd }
