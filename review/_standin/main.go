// Command standin plays the platform's store, its servers, its operator, its balancer and its
// clients for the cases of the review, as the platform's pages describe them. It uses the
// standard library only.
package main

import (
	"fmt"
	"os"
)

func main() {
	commands := map[string]func(args []string) int{
		"store": runStore, "engine": runEngine, "farm": runFarm, "flap": runFlap,
		"drill": runDrill, "outage": runOutage, "late-order": runLateOrder,
	}
	if len(os.Args) < 2 || commands[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin store|engine|CASE [flags]")
		os.Exit(exitNotRun)
	}
	os.Exit(commands[os.Args[1]](os.Args[2:]))
}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)
