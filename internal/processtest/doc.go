// Package processtest holds tests of whole fleets: real daemons and stand-ins
// as separate processes on loopback. Everything lives in its test files;
// fleet_test.go starts and stops the processes.
package processtest
