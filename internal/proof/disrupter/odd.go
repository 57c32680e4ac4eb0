package disrupter

import (
	"strings"
	"syscall"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/standin/storer"
)

// oddDepth is the nesting of an odd entry, beyond what decoders accept.
const oddDepth = 100000

// oddEntries are values that another writer may leave among those of the endpoints.
// None of them describes an endpoint that can be used.
var oddEntries = []string{
	`{"service":"service","address":"10.0.0.1:80","state":"ready","capacity":{"cpu":1e300,"mem-mb":2}}`,
	`{"service":"service","address":"10.0.0.1:80","state":"ready","capacity":{"cpu":16000,"mem-mb":9007199254740993}}`,
	`{"service":"service","address":"10.0.0.1:80","state":"ready","capacity":{"cpu":16000},"born":1e99}`,
	`{"service":"service","address":"10.0.0.1:80800","state":"ready","capacity":{"cpu":16000}}`,
	`{"service":"service","address":"10.0.0.1:0","state":"ready","capacity":{"cpu":16000}}`,
	`{"service":"service","address":"10.0.0.1:80","state":"ready","labels":` + strings.Repeat("[", oddDepth) + strings.Repeat("]", oddDepth) + `}`,
	`{"service":7,"address":[],"state":{}}`,
	"\x00\xff\xfe",
	strings.Repeat("{\"a\":", oddDepth),
}

// oddKeys are keys of odd entries beside those of endpoints.
var oddKeys = []string{"odd", "odd\r\nkey", "\xff\xfe", strings.Repeat("k", 255)}

// writeOddEntries leaves odd entries in the endpoint list, one of them in place of an
// endpoint's, which that endpoint soon writes again.
func (i *faultInjector) writeOddEntries(duration time.Duration) {
	keys := append([]string{i.randomHost().endpoint.ID}, oddKeys...)
	for _, key := range keys {
		i.cluster.store.Put(storer.TopicEndpoints, key, []byte(oddEntries[i.random.IntN(len(oddEntries))]))
	}
	i.callAfter(duration, func() {
		for _, key := range oddKeys {
			i.cluster.store.Put(storer.TopicEndpoints, key, nil)
		}
	})
}

// odd lists the faults of MixOdd: odd entries, and new owners that read them.
var odd = []fault{
	{"odd endpoint entries", (*faultInjector).writeOddEntries},
	{"odd endpoint entries and another owner", func(i *faultInjector, duration time.Duration) {
		i.writeOddEntries(duration)
		i.stopProcess(i.owner(), syscall.SIGKILL)
	}},
}

// checkProcesses records a violation for each process that has ended although nobody
// stopped it, and starts it again.
func (i *faultInjector) checkProcesses() {
	for _, e := range i.cluster.entries {
		i.cluster.ledger.CountCheck(guaranteeRuns)
		process := e.currentProcess()
		if process.Alive() || i.stopping[process] {
			continue
		}
		i.cluster.ledger.RecordViolation(guaranteeRuns, e.name+" has ended")
		i.stopping[process] = true
		i.restart(e)
	}
}

// guaranteeRuns is the check that no process ends by itself.
const guaranteeRuns = "process does not end by itself"
