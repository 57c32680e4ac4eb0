// Package launcher starts the processes of the proof runs, such as demo and
// chaos: stand-ins and entry instances. The product itself starts no process.
package launcher

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// readyTimeout bounds the start of a stand-in.
	readyTimeout = 10 * time.Second
	// stopTimeout is how long a process may take to stop before it is killed.
	stopTimeout = 5 * time.Second
	// listenPrefix begins the line in which a stand-in prints its address.
	listenPrefix = "listening "
)

// Process is a started program whose output is written to a file.
type Process struct {
	Name    string
	command *exec.Cmd
	done    chan struct{}
	address chan netip.AddrPort
}

// Launcher starts processes and ends all of them on Close.
type Launcher struct {
	dir       string
	mu        sync.Mutex
	processes []*Process
	starts    map[string]int
}

// New returns a launcher that writes the output of processes to files in dir.
func New(dir string) *Launcher { return &Launcher{dir: dir, starts: make(map[string]int)} }

// Start starts a program. The kernel kills it when this process ends, so that no
// process remains.
func (l *Launcher) Start(name, binary string, args ...string) (*Process, error) {
	return l.StartWithEnv(name, nil, binary, args...)
}

// StartWithEnv is Start with variables added to the environment.
func (l *Launcher) StartWithEnv(name string, environment []string, binary string, args ...string) (*Process, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts[name]++
	file, err := os.Create(filepath.Join(l.dir, fmt.Sprintf("%s.%d.log", name, l.starts[name])))
	if err != nil {
		return nil, err
	}
	//nolint:gosec,noctx // a proof run starts the binaries under test and ends them itself
	command := exec.Command(binary, args...)
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	command.Stderr = file
	command.Env = append(os.Environ(), environment...)
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		_ = file.Close()

		return nil, errors.Wrap(err, name)
	}
	p := &Process{Name: name, command: command, done: make(chan struct{}), address: make(chan netip.AddrPort, 1)}
	l.processes = append(l.processes, p)
	go p.run(output, file)

	return p, nil
}

// run copies the output to file, detects the address line, and waits for the
// process to end.
func (p *Process) run(output io.Reader, file *os.File) {
	defer close(p.done)
	scanner := bufio.NewScanner(output)
	for scanner.Scan() {
		line := scanner.Text()
		if text, ok := strings.CutPrefix(line, listenPrefix); ok {
			if address, err := netip.ParseAddrPort(text); err == nil {
				select {
				case p.address <- address:
				default:
				}
			}
		}
		_, _ = fmt.Fprintln(file, line)
	}
	_ = p.command.Wait()
	_ = file.Close()
}

// Address waits for the address that a stand-in prints and returns it.
func (p *Process) Address(ctx context.Context) (netip.AddrPort, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	select {
	case address := <-p.address:
		return address, nil
	case <-p.done:
		return netip.AddrPort{}, errors.Errorf("%s ended before it listened", p.Name)
	case <-ctx.Done():
		return netip.AddrPort{}, errors.Wrap(ctx.Err(), p.Name)
	}
}

// Alive reports whether the process has not ended.
func (p *Process) Alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Pause suspends the process with SIGSTOP, which it cannot catch.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Stop asks the process to end, and kills it if it does not within timeout.
func (p *Process) Stop(timeout time.Duration) {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(timeout):
		p.Kill()
	}
}

func (p *Process) signal(signal syscall.Signal) {
	if p.Alive() {
		_ = p.command.Process.Signal(signal)
	}
}

// Close stops all processes, paused ones included.
func (l *Launcher) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	var group sync.WaitGroup
	for _, p := range l.processes {
		group.Go(func() { p.Stop(stopTimeout) })
	}
	group.Wait()
}
