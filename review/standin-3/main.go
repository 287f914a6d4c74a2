// Command standin plays the scripts of the third review: it starts the project's programs, stands
// in for workers, callers and the operator, and checks a rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	held   = 0
	broken = 1
	failed = 2
)

// limit bounds a script.
const limit = 110 * time.Second

var cases = map[string]func(s *system, trouble bool) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER, in the root of the repository")
		os.Exit(failed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(script func(*system, bool) (int, error), folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	s, err := newSystem(root, rec)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	type outcome struct {
		code int
		err  error
	}
	done := make(chan outcome, 1)
	go func() {
		code, err := script(s, os.Getenv("TROUBLE") != "0")
		done <- outcome{code, err}
	}()
	select {
	case o := <-done:
		if o.err != nil {
			rec.notef("could not run: %v", o.err)
			fmt.Println("could not run:", o.err)
			return failed
		}
		return o.code
	case <-signals:
	case <-time.After(limit):
	}
	rec.notef("ended before the script was done")
	return failed
}

// verdict records the result.
func (s *system) verdict(rule string, breaks int, text string) int {
	if breaks > 0 {
		s.rec.notef("%s broken: %s", rule, text)
		fmt.Printf("%s broken: %s\n", rule, text)
		return broken
	}
	s.rec.notef("%s held: %s", rule, text)
	fmt.Printf("%s held: %s\n", rule, text)
	return held
}
