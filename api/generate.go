// Package api holds the protobuf schemas and their generated twirp code:
// operator/v1 is the operators' API, peer/v1 the protocol between VMs.
package api

//go:generate bash generate.sh
