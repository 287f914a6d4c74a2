// Command standin plays one case of the review: it starts the project's programs as
// processes, with stand-in workers, clients, an operator and a platform, and checks
// one rule. It exits with 1 if the rule was broken, with 0 if it held, and with 2 if
// the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases by name. Each returns the rule that it checks. "storm" and "odd" are searches and
// belong to no case.
var cases = map[string]func(rec *recorder, trouble bool) (*system, string){
	"suspended": suspendedWorkers,
	"spread":    spreadJobs,
	"budget":    lostFailures,
	"pending":   refusedStart,
	"odd":       oddInputs,
	"storm":     storm,
	"twice":     returningAgents,
}

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return 2
	}
	defer func() {
		if p := recover(); p != nil {
			endProcesses()
			removeFolders()
			fmt.Fprintln(os.Stderr, "could not run:", p)
			code = 2
		}
	}()
	rec := newRecorder(os.Args[2])
	defer rec.close()
	abort := func(why string) {
		rec.note("%s", why)
		rec.close()
		endProcesses()
		removeFolders()
		fmt.Fprintln(os.Stderr, "could not run:", why)
		os.Exit(2)
	}
	time.AfterFunc(112*time.Second, func() { abort("took too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { abort((<-signals).String()) }()
	trouble := os.Getenv("TROUBLE") != "0"
	s, rule := cases[os.Args[1]](rec, trouble)
	s.check.finalChecks("")
	s.close()
	broken := s.check.broken(rule)
	if rule == "ANY" {
		broken = s.check.violations
	}
	for i, v := range broken {
		if i < 12 {
			fmt.Println(v)
		}
	}
	others := len(s.check.violations) - len(broken)
	fmt.Printf("%s broken %d times; other findings: %d; disruption: %v; %d jobs\n", rule, len(broken), others, trouble, len(s.check.jobs))
	rec.note("%s broken %d times; other findings: %d; disruption: %v", rule, len(broken), others, trouble)
	if len(broken) > 0 {
		return 1
	}
	return 0
}
