// Package peerpb holds the generated messages and stubs of the protocol
// between VMs; peer.proto is their source.
package peerpb
