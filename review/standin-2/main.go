// Command standin-2 plays a case of the second review: it starts the project's own
// processes on loopback addresses with stand-ins of workers, clients, operator and
// balancer, disrupts them, and checks the rule of the case. It exits with 1 if the rule
// was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// play runs a case; an error means that it couldn't run.
type play func(rec *record, trouble bool) error

var plays = map[string]play{
	"cut-pair": playCutPair,
	"shed":     playShed,
	"signals":  playSignals,
	"late":     playLate,
	"roll":     playRoll,
	"slow":     playSlow,
}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER")
		os.Exit(2)
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, disruption: %t", os.Args[1], trouble)
	if err := plays[os.Args[1]](rec, trouble); err != nil {
		rec.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec.printf("rules broken: %d times", len(rec.broken))
	for _, text := range rec.broken[:min(len(rec.broken), 5)] {
		fmt.Println(text)
	}
	if len(rec.broken) > 0 {
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
