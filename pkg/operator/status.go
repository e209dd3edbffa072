package operator

import (
	operatorpb "crocusramp.dev/crocusramp/api/operator/v1"
	"crocusramp.dev/crocusramp/pkg/member"
)

// VMStatus converts VMs to messages of the API.
func VMStatus(vms []member.Peer) []*operatorpb.VMStatus {
	var out []*operatorpb.VMStatus
	for _, p := range vms {
		out = append(out, &operatorpb.VMStatus{
			Id: p.ID, Region: p.Region, FailureDomain: p.FailureDomain, State: p.State.String(),
			ConfigVersion: p.ConfigVersion, SlotsHeld: int32(p.SlotsHeld),
			FreePermits: int32(p.FreePermits), CallerAddress: p.CallerAddress,
		})
	}
	return out
}
