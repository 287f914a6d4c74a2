// Command gen writes the page that documents the catalogue of events. Its
// argument is the name of the file to write.
package main

import (
	"fmt"
	"os"

	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/events/page"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: gen FILE")
		os.Exit(2)
	}
	if err := os.WriteFile(os.Args[1], page.Render(events.Catalogue), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, "gen:", err)
		os.Exit(1)
	}
}
