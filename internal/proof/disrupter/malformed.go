package disrupter

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/standin/storer"
)

// malformedDepth is the nesting of an malformed entry, beyond what decoders accept.
const malformedDepth = 100000

// malformedEntries are values that another writer may leave among those of the endpoints.
// None of them describes an endpoint that can be used.
var malformedEntries = []string{
	`{"service":"service","address":"10.0.0.1:80","state":"ready","capacity":{"cpu":1e300,"mem-mb":2}}`,
	`{"service":"service","address":"10.0.0.1:80","state":"ready","capacity":{"cpu":16000,"mem-mb":9007199254740993}}`,
	`{"service":"service","address":"10.0.0.1:80","state":"ready","capacity":{"cpu":16000},"born":1e99}`,
	`{"service":"service","address":"10.0.0.1:80800","state":"ready","capacity":{"cpu":16000}}`,
	`{"service":"service","address":"10.0.0.1:0","state":"ready","capacity":{"cpu":16000}}`,
	`{"service":"service","address":"10.0.0.1:80","state":"ready","labels":` + strings.Repeat("[", malformedDepth) + strings.Repeat("]", malformedDepth) + `}`,
	`{"service":7,"address":[],"state":{}}`,
	"\x00\xff\xfe",
	strings.Repeat("{\"a\":", malformedDepth),
}

// malformedKeys are keys of malformed entries beside those of endpoints.
var malformedKeys = []string{"malformed", "malformed\r\nkey", "\xff\xfe", strings.Repeat("k", 255)}

// writeMalformedEntries leaves malformed entries in the endpoint list, one of them in place of an
// endpoint's, which that endpoint soon writes again.
func (i *faultInjector) writeMalformedEntries(duration time.Duration) {
	keys := append([]string{i.randomHost().endpoint.ID}, malformedKeys...)
	for _, key := range keys {
		i.cluster.store.Put(storer.TopicEndpoints, key, []byte(malformedEntries[i.random.IntN(len(malformedEntries))]))
	}
	i.callAfter(duration, func() {
		for _, key := range malformedKeys {
			i.cluster.store.Put(storer.TopicEndpoints, key, nil)
		}
	})
}

// unansweredFormat is an entry at whose address nothing listens; its field is the service.
const unansweredFormat = `{"service":%q,"address":"127.0.0.1:9","zone":"zone","version":"1","slots":8,"state":"ready","sequence":1,"born":1,"labels":["a","r9-1"],"capacity":{"cpu":16000,"mem-mb":65536,"gpu":0}}`

// writeUnansweredEntries leaves more entries than there are endpoints in the endpoint list, of
// a service that the configuration does not name or of the one that it names. They are the
// same each time and stay.
func (i *faultInjector) writeUnansweredEntries(service string) {
	for n := range len(i.cluster.hosts) + 1 {
		i.cluster.store.Put(storer.TopicEndpoints, fmt.Sprintf("unanswered-%d", n), fmt.Appendf(nil, unansweredFormat, service))
	}
}

// malformed lists the faults of MixMalformed: malformed entries and those of no endpoint, and
// new owners that read them.
var malformed = []fault{
	{"malformed endpoint entries", (*faultInjector).writeMalformedEntries},
	{"malformed endpoint entries and another owner", func(i *faultInjector, duration time.Duration) {
		i.writeMalformedEntries(duration)
		i.stopProcess(i.owner(), syscall.SIGKILL)
	}},
	{"entries of another service", func(i *faultInjector, _ time.Duration) { i.writeUnansweredEntries("other") }},
	{"entries without an endpoint", func(i *faultInjector, _ time.Duration) { i.writeUnansweredEntries("service") }},
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
