// Command dogwoodpond-standin is a part of dogwoodpond.
package main

func main() {}
