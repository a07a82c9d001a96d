// Package carrypb is the code generated from carry.proto.
package carrypb
