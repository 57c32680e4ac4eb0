package disrupter

import "time"

// Regression is a run that once violated a guarantee.
type Regression struct {
	Seed     uint64
	Duration time.Duration
	// Entries, Endpoints, Rate and Mix are those of Settings.
	Entries, Endpoints, Rate int
	Mix                      Mix
	// Cause describes the fault that caused the violation.
	Cause string
}

// The causes of several runs.
const (
	causeShown      = "an owner that was cut from the store showed a job as completed from memory and was killed; the next owner started it again"
	causeWrittenOff = "a paused owner judged leases as expired; the owner after the next took the judgement over, ignored a listed end and started the task again"
)

// Regressions lists the runs that violated a guarantee because of a fault in the
// scheduler.
var Regressions = []Regression{
	{1, 8 * time.Second, 4, 6, 15, MixSingle, "a restarted endpoint had answered a start before the owner learned of the restart"},
	{10, 15 * time.Second, 5, 9, 20, MixSingle, "a start lost with a courier was resent, and its first copy reached a restarted endpoint"},
	{11, 15 * time.Second, 5, 9, 20, MixSingle, "a new owner used 85% of a limit while endpoints with more than the rest had not answered"},
	{102, 20 * time.Second, 5, 9, 30, MixSingle, "a new owner assigned the number of an inherited run a second time"},
	{9000, 20 * time.Second, 5, 9, 5, MixStoreCut, causeShown},
	{9002, 20 * time.Second, 5, 9, 5, MixStoreCut, causeShown},
	{9003, 20 * time.Second, 5, 9, 5, MixStoreCut, "an owner that was cut from the store showed a job as completed from memory and was killed; the next owner showed it as queued"},
	{8000, 20 * time.Second, 5, 9, 5, MixStruckTwice, causeWrittenOff},
	{8005, 20 * time.Second, 5, 9, 5, MixStruckTwice, causeWrittenOff},
	{8007, 20 * time.Second, 5, 9, 5, MixStruckTwice, "a paused owner judged leases as expired; the owner after the next took the judgement over and started a task that still ran; the paused owner also showed a job as running that had been shown as completed"},
	{8008, 20 * time.Second, 5, 9, 5, MixStruckTwice, causeWrittenOff},
	{8009, 20 * time.Second, 5, 9, 5, MixStruckTwice, causeWrittenOff},
	{8011, 20 * time.Second, 5, 9, 5, MixStruckTwice, causeWrittenOff},
	{8012, 20 * time.Second, 5, 9, 5, MixStruckTwice, causeWrittenOff},
	{400, 20 * time.Second, 5, 9, 20, MixAll, causeShown},
}
