package launcher

import (
	"syscall"
	"testing"
)

// TestClose_EndsAllProcesses guards against processes that outlive Close, paused
// ones included.
func TestClose_EndsAllProcesses(t *testing.T) {
	l := New(t.TempDir())
	processes := make([]*Process, 0, 3)
	for range 3 {
		p, err := l.Start("sleep", "sleep", "60")
		if err != nil {
			t.Fatal(err)
		}
		processes = append(processes, p)
	}
	processes[0].Pause()
	processes[1].Kill()
	l.Close()
	for _, p := range processes {
		if p.Alive() || syscall.Kill(p.command.Process.Pid, 0) == nil {
			t.Errorf("process %d is alive", p.command.Process.Pid)
		}
	}
}
