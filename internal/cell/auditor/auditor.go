// Package auditor checks a cell's configuration before it is published: entries with
// errors, entries that can never match, limits that contradict each other, and what differs
// from the version in force. It performs no I/O.
package auditor

import (
	"fmt"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Level is the severity of a finding.
type Level string

// The levels of findings.
const (
	// LevelError means that the entry does not do what it says.
	LevelError Level = "error"
	// LevelWarning means that the entry has no effect, or contradicts another one.
	LevelWarning Level = "warning"
)

// Finding is a fault of an entry.
type Finding struct {
	Level Level `json:"level"`
	// Field is the path of the field in the types of definer, such as "routes[2].stretch" or "accounts[0].limit".
	Field string `json:"field"`
	// Line is the line of the field in the file, or 0 if it is not known.
	Line int    `json:"line,omitempty"`
	Text string `json:"text"`
}

// Audit collects the findings about a configuration.
type Audit struct {
	config *definer.Configuration
	// listings are those of the endpoints, or nil if they are not known.
	listings []definer.Listing
	findings []Finding
}

// minValidity is the validity of a ticket below which no start can be sent with it: the
// answer and the order take about as long.
const minValidity = 150 * time.Millisecond

// Check returns the findings about a configuration, in the order of its entries. Without
// listings, nothing is said about endpoints.
func Check(config *definer.Configuration, listings []definer.Listing) []Finding {
	a := &Audit{config: config, listings: listings}
	if config.Version <= 0 {
		a.addf(LevelError, "version", "must be positive")
	}
	if len(config.Routes) == 0 {
		a.addf(LevelWarning, "routes", "there are none, so that no job can be submitted")
	}
	a.checkRoutes()
	a.checkAccounts()

	return a.findings
}

func (a *Audit) addf(level Level, field, format string, args ...any) {
	a.findings = append(a.findings, Finding{Level: level, Field: field, Text: fmt.Sprintf(format, args...)})
}

func (a *Audit) checkRoutes() {
	names, matches := map[string]int{}, map[[2]string]int{}
	for i := range a.config.Routes {
		route := &a.config.Routes[i]
		field := fmt.Sprintf("routes[%d]", i)
		a.checkQueue(field, &route.Queue)
		if first, known := names[route.Queue.Name]; known {
			a.addf(LevelError, field+".name", "is also that of route %d", first)
		} else {
			names[route.Queue.Name] = i
		}
		match := [2]string{route.Host, route.Prefix}
		if first, known := matches[match]; known {
			a.addf(LevelWarning, field+".prefix", "never matches: route %d has the same host and prefix and comes first", first)
		} else {
			matches[match] = i
		}
		if route.Host == "" {
			a.addf(LevelError, field+".host", "is missing, so that no request matches")
		}
		if route.Prefix == "" || route.Prefix[0] != '/' {
			a.addf(LevelError, field+".prefix", "does not begin with a slash, so that no request matches")
		}
		if !route.Public && !a.hasKeys() {
			a.addf(LevelWarning, field, "never admits a request: it is not public, and no account has a key")
		}
	}
}

// hasKeys reports whether any account has a key.
func (a *Audit) hasKeys() bool {
	for i := range a.config.Accounts {
		if len(a.config.Accounts[i].Keys) > 0 {
			return true
		}
	}

	return false
}

func (a *Audit) checkQueue(field string, queue *definer.Queue) {
	if queue.Name == "" {
		a.addf(LevelError, field+".name", "is missing")
	}
	if queue.Service == "" {
		a.addf(LevelError, field+".service", "is missing, so that no endpoint runs its tasks")
	} else if a.listings != nil && a.capacityOf(queue.Service) == (modeler.Resources{}) {
		a.addf(LevelWarning, field+".service", "no endpoint of %q is listed", queue.Service)
	}
	if queue.Priority < 0 {
		a.addf(LevelError, field+".priority", "is negative; 0 is the most urgent")
	}
	if queue.MaxAttempts < 1 {
		a.addf(LevelWarning, field+".attempts", "is %d and counts as 1: the first failure of a task fails its job", queue.MaxAttempts)
	}
	if queue.Stretch < 1 {
		a.addf(LevelWarning, field+".stretch", "is %g and counts as 1: less than the run time itself can't be kept", queue.Stretch)
	}
	if queue.Target < 0 {
		a.addf(LevelError, field+".target", "is negative")
	}
	if queue.Policy != nil {
		a.checkPolicy(field, queue)
	}
}

func (a *Audit) checkPolicy(field string, queue *definer.Queue) {
	policy := queue.Policy
	if policy.Decide < 0 || policy.Each < 0 {
		a.addf(LevelError, field+".policy", "has a negative decision time")
	}
	if policy.Validity <= minValidity {
		a.addf(LevelError, field+".policy.validity", "%s is too short: a ticket expires before a start with it arrives", policy.Validity)
	}
	if answer := policy.Decide + policy.Each; queue.Target > 0 && answer >= queue.Target {
		a.addf(LevelWarning, field+".target", "%s is no longer than the policy takes to answer about one endpoint, %s", queue.Target, answer)
	}
}

// capacityOf returns the capacity of the listed endpoints of a service.
func (a *Audit) capacityOf(service string) modeler.Resources {
	var total modeler.Resources
	for i := range a.listings {
		if a.listings[i].Service == service {
			total = total.Add(a.listings[i].Capacity)
		}
	}

	return total
}

func (a *Audit) checkAccounts() {
	names, owners := map[string]int{}, map[string]int{}
	for i := range a.config.Accounts {
		account := &a.config.Accounts[i]
		field := fmt.Sprintf("accounts[%d]", i)
		if first, known := names[account.Name]; known {
			a.addf(LevelError, field+".name", "is also that of account %d", first)
		} else {
			names[account.Name] = i
		}
		if account.Name == "" {
			a.addf(LevelError, field+".name", "is missing")
		}
		if len(account.Keys) == 0 {
			a.addf(LevelWarning, field+".keys", "there are none, so that %q can't submit jobs", account.Name)
		}
		for n, key := range account.Keys {
			if first, known := owners[key]; known && first != i {
				a.addf(LevelError, fmt.Sprintf("%s.keys[%d]", field, n), "is also a key of account %d; its requests count for the last of them", first)
			}
			owners[key] = i
		}
		a.checkLimits(field, account)
	}
}

func (a *Audit) checkLimits(field string, account *definer.Account) {
	if account.Weight < 0 {
		a.addf(LevelError, field+".weight", "is negative")
	}
	if account.Weight == 0 {
		a.addf(LevelWarning, field+".weight", "is 0: %q has no share when the cell is full, and no rate limit", account.Name)
	}
	if account.Limit.Millis > 0 && account.Limit.Memory == 0 || account.Limit.Millis == 0 && account.Limit.Memory > 0 {
		a.addf(LevelWarning, field+".limit", "limits only one of processors and memory; 0 means no limit")
	}
	if a.listings != nil && a.fitsNowhere(account.Limit) {
		a.addf(LevelWarning, field+".limit", "is above the capacity of all listed endpoints, so that it limits nothing")
	}
}

// fitsNowhere reports whether a limit in processors exceeds the capacity of all endpoints.
func (a *Audit) fitsNowhere(limit modeler.Resources) bool {
	var total int64
	for i := range a.listings {
		total += a.listings[i].Capacity.Millis
	}

	return limit.Millis > total
}
