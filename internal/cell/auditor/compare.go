package auditor

import (
	"fmt"
	"reflect"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// Change is a difference from the version in force.
type Change struct {
	// Loss means that callers lose access or room by the change.
	Loss bool   `json:"loss"`
	Text string `json:"text"`
}

// Compare returns what differs in a configuration from the one in force, the losses first.
// Keys are counted and not named.
func Compare(inForce, next *definer.Configuration) []Change {
	var changes []Change
	if next.Version <= inForce.Version {
		changes = append(changes, Change{Loss: true, Text: fmt.Sprintf("version %d is not above %d, which is in force: it will be ignored", next.Version, inForce.Version)})
	}
	changes = append(changes, compareRoutes(inForce, next)...)
	changes = append(changes, compareAccounts(inForce, next)...)
	if inForce.BodyLimit != next.BodyLimit {
		changes = append(changes, Change{Loss: next.BodyLimit > 0 && next.BodyLimit < inForce.BodyLimit,
			Text: fmt.Sprintf("largest request body: %d -> %d bytes", inForce.BodyLimit, next.BodyLimit)})
	}
	ordered := make([]Change, 0, len(changes))
	for _, loss := range []bool{true, false} {
		for _, change := range changes {
			if change.Loss == loss {
				ordered = append(ordered, change)
			}
		}
	}

	return ordered
}

func compareRoutes(inForce, next *definer.Configuration) []Change {
	var changes []Change
	before, after := map[string]*definer.Route{}, map[string]*definer.Route{}
	for i := range inForce.Routes {
		before[inForce.Routes[i].Queue.Name] = &inForce.Routes[i]
	}
	for i := range next.Routes {
		after[next.Routes[i].Queue.Name] = &next.Routes[i]
	}
	for i := range inForce.Routes {
		route := &inForce.Routes[i]
		switch now := after[route.Queue.Name]; {
		case now == nil:
			changes = append(changes, Change{Loss: true, Text: fmt.Sprintf("route %q is removed: requests to %s%s get 404", route.Queue.Name, route.Host, route.Prefix)})
		case now.Host != route.Host || now.Prefix != route.Prefix:
			changes = append(changes, Change{Loss: true, Text: fmt.Sprintf("route %q moves from %s%s to %s%s", route.Queue.Name, route.Host, route.Prefix, now.Host, now.Prefix)})
		case !reflect.DeepEqual(now, route):
			changes = append(changes, Change{Loss: route.Public && !now.Public, Text: fmt.Sprintf("route %q: %s -> %s", route.Queue.Name, describe(route), describe(now))})
		}
	}
	for i := range next.Routes {
		if route := &next.Routes[i]; before[route.Queue.Name] == nil {
			changes = append(changes, Change{Text: fmt.Sprintf("route %q is added at %s%s", route.Queue.Name, route.Host, route.Prefix)})
		}
	}

	return changes
}

// describe returns the settings of a route as text.
func describe(route *definer.Route) string {
	queue := &route.Queue
	text := fmt.Sprintf("service %s, priority %d, attempts %d, stretch %g, target %s, public %t",
		queue.Service, queue.Priority, queue.MaxAttempts, queue.Stretch, queue.Target, route.Public)
	if policy := queue.Policy; policy != nil {
		text += fmt.Sprintf(", policy %s + %s, validity %s", policy.Decide, policy.Each, policy.Validity)
	}

	return text
}

func compareAccounts(inForce, next *definer.Configuration) []Change {
	var changes []Change
	before, after := map[string]*definer.Account{}, map[string]*definer.Account{}
	for i := range inForce.Accounts {
		before[inForce.Accounts[i].Name] = &inForce.Accounts[i]
	}
	for i := range next.Accounts {
		after[next.Accounts[i].Name] = &next.Accounts[i]
	}
	for i := range inForce.Accounts {
		account := &inForce.Accounts[i]
		if now := after[account.Name]; now != nil {
			changes = append(changes, compareAccount(account, now)...)
		} else {
			changes = append(changes, Change{Loss: true, Text: fmt.Sprintf("account %q is removed with %d keys", account.Name, len(account.Keys))})
		}
	}
	for i := range next.Accounts {
		if account := &next.Accounts[i]; before[account.Name] == nil {
			changes = append(changes, Change{Text: fmt.Sprintf("account %q is added with %d keys", account.Name, len(account.Keys))})
		}
	}

	return changes
}

func compareAccount(before, after *definer.Account) []Change {
	var changes []Change
	if removed := missing(before.Keys, after.Keys); removed > 0 {
		changes = append(changes, Change{Loss: true, Text: fmt.Sprintf("account %q loses %d of %d keys", before.Name, removed, len(before.Keys))})
	}
	if added := missing(after.Keys, before.Keys); added > 0 {
		changes = append(changes, Change{Text: fmt.Sprintf("account %q gets %d keys", before.Name, added)})
	}
	if before.Weight != after.Weight {
		changes = append(changes, Change{Loss: after.Weight < before.Weight, Text: fmt.Sprintf("account %q: weight %g -> %g", before.Name, before.Weight, after.Weight)})
	}
	if before.Limit != after.Limit {
		changes = append(changes, Change{Loss: lowers(before.Limit.Millis, after.Limit.Millis) || lowers(before.Limit.Memory, after.Limit.Memory) || lowers(before.Limit.Accelerators, after.Limit.Accelerators),
			Text: fmt.Sprintf("account %q: limit %d millicores, %d bytes, %d accelerators -> %d, %d, %d", before.Name,
				before.Limit.Millis, before.Limit.Memory, before.Limit.Accelerators, after.Limit.Millis, after.Limit.Memory, after.Limit.Accelerators)})
	}

	return changes
}

// missing counts the keys that are not among others.
func missing(keys, others []string) int {
	known := make(map[string]bool, len(others))
	for _, key := range others {
		known[key] = true
	}
	count := 0
	for _, key := range keys {
		if !known[key] {
			count++
		}
	}

	return count
}

// lowers reports whether a component of a limit becomes lower; 0 means no limit.
func lowers(before, after int64) bool { return after != 0 && (before == 0 || after < before) }
