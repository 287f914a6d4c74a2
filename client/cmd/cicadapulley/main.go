// Command cicadapulley is the command line for operators and callers.
package main

import "github.com/cicadapulley/cicadapulley/client/internal/load"

func main() { load.Main() }
