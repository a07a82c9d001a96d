// Command dogwoodpondctl is a part of dogwoodpond.
package main

func main() {}
