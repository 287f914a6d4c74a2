// Command cicadapulley is the command line for operators and callers.
package main

func main() {}
