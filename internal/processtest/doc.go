// Package processtest contains end-to-end tests. They run real daemons and
// stand-ins as separate processes on the loopback interface. The package has only
// test files; fleet_test.go starts and stops the processes.
package processtest
