// Command cicadapulleyd is the daemon.
package main

func main() {}
