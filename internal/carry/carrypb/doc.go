// Package carrypb is the generated form of carry.proto.
package carrypb
