// Package peerpb contains the messages and stubs of the protocol between VMs,
// generated from peer.proto.
package peerpb
