package router

import (
	"context"
	"net/http"
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// noConfiguration returns the refusal of an instance without a configuration.
func noConfiguration() error {
	return modeler.NotRun(modeler.CodeStaleConfig, time.Second, "this instance has no configuration yet")
}

// queue returns the configuration in force and the queue with the given name.
func (r *Router) queue(name modeler.QueueID) (modeler.Document, modeler.Queue, error) {
	doc, _, ok := r.config.InForce()
	if !ok {
		return doc, modeler.Queue{}, noConfiguration()
	}
	for _, q := range doc.Queues {
		if q.Name == name {
			return doc, q, nil
		}
	}

	return doc, modeler.Queue{}, modeler.NotRun(modeler.CodeUnknownQueue, 0, "no queue %q", name)
}

// chargedTeam returns the team that a command on queue is charged to: the team of
// the key or, on an open queue and without a key, the team of the queue. An
// invalid key is refused even on an open queue.
func (r *Router) chargedTeam(req *http.Request, queue modeler.Queue) (modeler.TeamID, error) {
	header := req.Header.Get("Authorization")
	if header == "" && queue.Open {
		return queue.Team, nil
	}
	team, err := r.authenticator.Team(header)
	if err != nil {
		return "", err
	}
	if !admits(queue, team) {
		return "", modeler.NotRun(modeler.CodeWrongTeam, 0, "queue %s does not admit team %s", queue.Name, team)
	}

	return team, nil
}

// admits reports whether queue accepts work of team.
func admits(queue modeler.Queue, team modeler.TeamID) bool {
	return len(queue.Teams) == 0 || slices.Contains(queue.Teams, team) || queue.Open && queue.Team == team
}

// readableTeams returns the teams whose items a query may read: the team of the
// key or, without a key, the teams of open queues. Items of open queues can be
// read by anyone who knows their id.
func (r *Router) readableTeams(req *http.Request) (teams []modeler.TeamID, anonymous bool, err error) {
	if header := req.Header.Get("Authorization"); header != "" {
		team, err := r.authenticator.Team(header)

		return []modeler.TeamID{team}, false, err
	}
	doc, _, ok := r.config.InForce()
	if !ok {
		return nil, true, noConfiguration()
	}
	for _, q := range doc.Queues {
		if q.Open && !slices.Contains(teams, q.Team) {
			teams = append(teams, q.Team)
		}
	}
	if len(teams) == 0 {
		_, err := r.authenticator.Team("")

		return nil, true, err
	}

	return teams, true, nil
}

// operator returns the operator of a request. While the document in force has no
// operators, the result is empty and no key is needed.
func (r *Router) operator(req *http.Request) (string, error) {
	doc, _, ok := r.config.InForce()
	if !ok || len(doc.Operators) == 0 {
		return "", nil
	}

	return r.authenticator.Operator(req.Header.Get("Authorization"))
}

// publishingOperator returns the operator to record for a publication based on
// parent. It checks the key against a document that is at least as new as parent:
// otherwise an instance that has not read parent yet would let anyone publish on
// top of the first document that has operators.
func (r *Router) publishingOperator(req *http.Request, parent modeler.Offset) (string, error) {
	ctx, cancel := context.WithTimeout(req.Context(), parentWait)
	defer cancel()
	for r.offset() < parent {
		select {
		case <-ctx.Done():
			return "", modeler.NotRun(modeler.CodeStaleConfig, time.Second,
				"this instance has not read the document at offset %d yet", parent)
		case <-time.After(minPollInterval):
		}
	}
	operator, err := r.operator(req)
	if err == nil && operator == "" {
		operator = req.Header.Get(HeaderOperator)
	}

	return operator, err
}

// isOpen reports whether the named queue accepts work without a key.
func (r *Router) isOpen(name modeler.QueueID) bool {
	_, queue, err := r.queue(name)

	return err == nil && queue.Open
}
