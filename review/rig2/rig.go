// Command rig2 plays a case of the second review: entry instances as processes of
// their own, started with the command of the deploy file, against stand-ins of the
// users' platform on loopback addresses. It writes record.txt into the folder of the
// case, and exits with 1 if the rule of the case was broken, 0 if it held, and 2 if
// the case could not run. With TROUBLE=0 it plays the case without its trouble.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Sizes of the small deployment and bounds of its settings file.
const (
	entries          = 3
	executors        = 9
	executorMillis   = 16000
	executorMemoryMB = 65536
	heartbeat        = 1500 * time.Millisecond
	restartDelay     = 700 * time.Millisecond
	startTime        = 20 * time.Second
	maxTime          = 118 * time.Second

	contactTime = 4 * time.Second
	cancelTime  = 3 * time.Second
	applyTime   = 3 * time.Second
	visibleTime = 3 * time.Second
	finishTime  = 14 * time.Second
	// pendingAge is how old a number of pending jobs may be.
	pendingAge = 2 * time.Second
	// standTime is how long a job may have nothing running beside capacity for it.
	standTime = 3 * time.Second

	// deadline is how long a client waits for an answer, and acceptTime how long it repeats a refused submission.
	deadline   = 3 * time.Second
	acceptTime = 5 * time.Second
	retryDelay = 200 * time.Millisecond

	hostName = "work.example"
	key      = "key-of-the-tenant"
)

// Ports of an entry instance on its own loopback address.
const (
	frontPort   = 8183
	readyPort   = 8184
	peerPort    = 7420
	metricsPort = 9464
)

// rig holds the stand-ins, the processes and the record of a case.
type rig struct {
	dir       string
	trouble   bool
	store     *store
	client    *http.Client
	began     time.Time
	nodes     []*node
	executors []*executor
	version   int

	mu     sync.Mutex
	record *os.File
	// jobs is what the executors have run of each job.
	jobs map[string]*jobRuns
	// crashAt is a job whose next start makes its executor crash, or empty.
	crashAt string
}

// jobRuns is what the executors have run of a job. Noted counts the ends that were taken note of.
type jobRuns struct{ starts, running, done, noted int }

func (r jobRuns) String() string {
	return fmt.Sprintf("%d starts, %d running, %d done, %d ends taken note of", r.starts, r.running, r.done, r.noted)
}

// node is an entry instance.
type node struct {
	name, ip, file string
	output         *os.File
	process        *exec.Cmd
	ended          chan struct{}
}

// errUnable means that the case could not run.
var errUnable = errors.New("a step before the trouble failed")

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: rig2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)

		return 2
	}
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		fmt.Println(err)

		return 2
	}
	defer os.RemoveAll(dir)
	r := &rig{
		dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: record, began: time.Now(), jobs: map[string]*jobRuns{},
		client: &http.Client{Timeout: deadline},
	}
	r.store = newStore(r)
	go r.endOnSignal()
	defer r.close()
	if err := r.start(); err != nil {
		r.log("could not run: %v", err)

		return 2
	}
	broken, err := cases[name](r)
	switch {
	case err != nil:
		r.log("could not run: %v", err)

		return 2
	case broken != "":
		r.log("BROKEN: %s", broken)

		return 1
	}
	r.log("HELD")

	return 0
}

// note writes a line to the record, with the time in seconds.
func (r *rig) note(format string, args ...any) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.record.WriteString(line)

	return line
}

// log writes a line to the record and prints it.
func (r *rig) log(format string, args ...any) { fmt.Print(r.note(format, args...)) }

// endOnSignal ends the processes and the case when the rig is told to stop, or after maxTime.
func (r *rig) endOnSignal() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-stop:
	case <-time.After(maxTime):
	}
	r.log("could not run: stopped")
	r.kill()
	_ = os.RemoveAll(r.dir)
	os.Exit(2)
}

// claims returns how often an instance has claimed the cell, by the logs of the instances.
func (r *rig) claims() int {
	count := 0
	for _, n := range r.nodes {
		data, _ := os.ReadFile(n.output.Name())
		count += strings.Count(string(data), "cell claimed")
	}

	return count
}

// start starts the stand-ins and the entry instances, and waits until all are ready and in touch.
func (r *rig) start() error {
	r.configure("queue")
	for n := range executors {
		e := newExecutor(r, n)
		var err error
		if e.address, err = serve(e); err != nil {
			return err
		}
		r.executors = append(r.executors, e)
		go e.loop()
		go e.loopHeartbeats()
	}
	address, err := serve(r.store)
	if err != nil {
		return err
	}
	network, err := freeNetwork()
	if err != nil {
		return err
	}
	for n := range entries {
		if err := r.addNode(n, network, address); err != nil {
			return err
		}
	}
	for _, n := range r.nodes {
		if err := r.launch(n); err != nil {
			return err
		}
	}
	for until := time.Now().Add(startTime); time.Now().Before(until); time.Sleep(retryDelay) {
		if r.countReady() == entries {
			time.Sleep(contactTime)
			r.log("%d entry instances are ready", entries)

			return nil
		}
	}

	return errors.New("the entry instances did not become ready")
}

func (r *rig) countReady() int {
	ready := 0
	for _, n := range r.nodes {
		response, err := r.client.Get(fmt.Sprintf("http://%s:%d/v1/readiness", n.ip, readyPort))
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			ready++
		}
	}

	return ready
}

// serve serves a handler on a free loopback port.
func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()

	return listener.Addr().String(), nil
}

// freeNetwork returns the first bytes of loopback addresses on which the ports of
// the entry instances are free.
func freeNetwork() (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 1+rand.Intn(250), 1+rand.Intn(250))
		if isFree(network) {
			return network, nil
		}
	}

	return "", errors.New("no free ports")
}

func isFree(network string) bool {
	for n := range entries {
		for _, port := range []int{frontPort, readyPort, peerPort, metricsPort} {
			listener, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", network, n+1, port))
			if err != nil {
				return false
			}
			listener.Close()
		}
	}

	return true
}

// settingsFormat is the settings file of an entry instance: its name, its address and that of the store.
const settingsFormat = `node-name = %[1]q
role = "entry"
machine-class = "front"
serves = ["front"]
ip = %[2]q
zone = "z1"
region = "r1"
internal-ports = [7420, 7435]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat-ms = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform","advice","upkeep","sharing"]
orders = "rpc"
[zones]
z1 = "r1"
[listen]
front = "%[2]s:8183"
ready = "%[2]s:8184"
[limits]
cpu-share = 1.0
cores = 1
memory-mb = 284
max-fds = 4200
link-mbps = 1000.0
disk-mb = 0
[bounds]
contact-ms = 4000
ack-ms = 5000
drain-ms = 3000
grace-s = 6
config-apply-ms = 3000
strict-revoke = true
revoke-ms = 5000
hold-max-ms = 6000
stop-ms = 900
gang-wait-ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
fencing-required = true
lease-ms = 3000
[platform]
address = %[3]q
form = "log"
writes-per-s = 600
reads-per-s = 2000
append-ms = 3.0
record-bytes = 262144
call-bytes = 2097152
keep_s = 300
`

func (r *rig) addNode(number int, network, storeAddress string) error {
	n := &node{name: fmt.Sprintf("front-z1-%d", number+1), ip: fmt.Sprintf("%s.%d", network, number+1)}
	n.file = filepath.Join(r.dir, n.name+".toml")
	if err := os.WriteFile(n.file, fmt.Appendf(nil, settingsFormat, n.name, n.ip, storeAddress), 0o600); err != nil {
		return err
	}
	var err error
	if n.output, err = os.Create(filepath.Join(r.dir, n.name+".log")); err != nil {
		return err
	}
	r.nodes = append(r.nodes, n)

	return nil
}

// launch starts the process of an entry instance with the command of the deploy file.
func (r *rig) launch(n *node) error {
	process := exec.Command("target/entry", "--metrics-port", fmt.Sprint(metricsPort))
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "GREENGAGEWALL_SETTINGS=" + n.file}
	process.Stdout, process.Stderr = n.output, n.output
	if err := process.Start(); err != nil {
		return err
	}
	n.process, n.ended = process, make(chan struct{})
	go func(ended chan struct{}) {
		_ = process.Wait()
		close(ended)
	}(n.ended)

	return nil
}

// killAll kills all entry instances and starts them again after restartDelay.
func (r *rig) killAll() error {
	r.kill()
	r.log("all entry instances killed")
	time.Sleep(restartDelay)
	for _, n := range r.nodes {
		if err := r.launch(n); err != nil {
			return err
		}
	}
	r.log("all entry instances started again")

	return nil
}

func (r *rig) kill() {
	for _, n := range r.nodes {
		if n.process != nil {
			_ = n.process.Process.Kill()
		}
	}
	for _, n := range r.nodes {
		if n.process != nil {
			<-n.ended
		}
	}
}

func (r *rig) close() {
	r.kill()
	_ = r.record.Close()
}

// Path prefixes of the routes. That of lookups is more urgent and has a short objective.
const (
	prefixQueue   = "/q/"
	prefixLookups = "/l/"
)

// configure publishes a version of the configuration in which the route of prefixQueue has the name.
func (r *rig) configure(name string) {
	r.version += 3
	data, err := json.Marshal(map[string]any{
		"version": r.version,
		"routes": []map[string]any{
			{"name": name, "host": hostName, "path-prefix": prefixQueue, "service": "work", "priority": 1, "max-attempts": 3, "stretch": 3, "target-latency-ms": 3000},
			{"name": "lookups", "host": hostName, "path-prefix": prefixLookups, "service": "work", "priority": 0, "max-attempts": 4, "stretch": 1.5, "target-latency-ms": 600},
		},
		"services": []map[string]any{{"name": "work", "enforces-capacity": false}},
		"limits":   map[string]any{"max-body-bytes": 262144},
		"tenants":  []map[string]any{{"name": "tenant", "api-keys": []string{key}, "weight": 1000, "cap": map[string]any{}}},
	})
	if err != nil {
		panic(err)
	}
	r.store.put(topicOperator, "config", data)
}

// job is a job as its client knows it.
type job struct{ prefix, id string }

// newJob returns a job with a new id.
func newJob(prefix string) job { return job{prefix, fmt.Sprintf("%016x", rand.Uint64())} }

// step is a step of a job.
type step = map[string]any

// call sends a request about a job, or about a queue if the id is empty, to an entry instance. It returns the state of
// the job, or the number of pending jobs. The status is 0 without an answer.
func (r *rig) call(method string, j job, body any) (status int, state string) {
	var reader io.Reader = http.NoBody
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		reader = bytes.NewReader(data)
		r.note("body of the next %s %s%s: %s", method, j.prefix, j.id, data)
	}
	n := r.nodes[rand.Intn(len(r.nodes))]
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s%s", n.ip, frontPort, j.prefix, j.id), reader)
	if err != nil {
		panic(err)
	}
	request.Host = hostName
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Greengagewall-Key", key)
	request.Header.Set("X-Greengagewall-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	response, err := r.client.Do(request)
	if err != nil {
		r.log("%s %s%s to %s -> no answer", method, j.prefix, j.id, n.name)

		return 0, ""
	}
	defer response.Body.Close()
	var reply struct {
		State   string `json:"state"`
		Pending *int   `json:"pending"`
	}
	_ = json.NewDecoder(response.Body).Decode(&reply)
	state = reply.State
	if reply.Pending != nil {
		state = fmt.Sprint(*reply.Pending)
	}
	r.log("%s %s%s to %s -> %d %s", method, j.prefix, j.id, n.name, response.StatusCode, state)

	return response.StatusCode, state
}

// pending returns the number of pending jobs of a queue, or -1 without an answer.
func (r *rig) pending(prefix string) int {
	_, text := r.call(http.MethodGet, job{prefix: prefix}, nil)
	number, err := strconv.Atoi(text)
	if err != nil {
		return -1
	}

	return number
}

// submit hands a job in and repeats that until it is accepted, for acceptTime at most.
func (r *rig) submit(j job, body map[string]any) bool {
	for until := time.Now().Add(acceptTime); time.Now().Before(until); time.Sleep(retryDelay) {
		if status, _ := r.call(http.MethodPost, j, body); status == http.StatusOK {
			return true
		}
	}

	return false
}

// jobOf returns the id of the job of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")

	return id
}

// change changes the runs of a job under the lock.
func (r *rig) change(task string, apply func(*jobRuns)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := jobOf(task)
	if r.jobs[id] == nil {
		r.jobs[id] = &jobRuns{}
	}
	apply(r.jobs[id])
}

// runs returns what the executors have run of a job.
func (r *rig) runs(j job) jobRuns {
	r.mu.Lock()
	defer r.mu.Unlock()
	if runs := r.jobs[j.id]; runs != nil {
		return *runs
	}

	return jobRuns{}
}

// crashes reports, once, whether the executor that starts a task is to crash.
func (r *rig) crashes(task string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.crashAt == "" || r.crashAt != jobOf(task) {
		return false
	}
	r.crashAt = ""

	return true
}
