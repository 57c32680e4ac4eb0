// Command harness runs the scripts of the review: entry instances as real processes
// on loopback addresses, with stand-ins of the platform's store, the executors and the
// clients that follow the users' pages.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: harness CASE ROOT RECORD")
		os.Exit(2)
	}
	rec, err := newRecorder(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, trouble %t", os.Args[1], trouble)
	play := map[string]func(*recorder, string, bool) ([]string, error){
		"large-job": largeJob, "late-starts": lateStarts, "many-ends": manyEnds, "sole-endpoint": soleEndpoint, "changed-kind": changedKind, "foreign-entries": foreignEntries, "cancelled-runs": cancelledRuns,
	}[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	broken, err := play(rec, os.Args[2], trouble)
	if err != nil {
		rec.note("result: could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	}
	for _, line := range broken {
		rec.note("broken: %s", line)
		fmt.Println(line)
	}
	if len(broken) > 0 {
		rec.note("result: the rule was broken")
		os.Exit(1)
	}
	rec.note("result: the rule held")
	fmt.Println("held")
}
