package codec

import (
	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/core/state"
)

// MemberToRPC encodes a member.
func MemberToRPC(m state.Member) *rpc.Member {
	return &rpc.Member{
		Id:              m.ID,
		Role:            string(m.Role),
		Address:         m.Address,
		Incarnation:     m.Incarnation,
		DataCentre:      m.DataCentre,
		Rack:            m.Rack,
		Slots:           uint32(m.Slots),
		Connections:     uint32(m.Connections),
		Resources:       ResourcesToRPC(m.Resources),
		Serves:          mapSlice(m.Serves, servedToRPC),
		State:           uint32(m.State),
		FirstIndex:      m.FirstIndex,
		RegisteredIndex: m.RegisteredIndex,
		EndedUnixMs:     unixMS(m.Ended),
		EndedIndex:      m.EndedIndex,
		Revision:        m.Revision,
		Ops:             m.Ops,
	}
}

// MemberFromRPC decodes a member.
func MemberFromRPC(m *rpc.Member) state.Member {
	return state.Member{
		ID:              m.GetId(),
		Role:            state.Role(m.GetRole()),
		Address:         m.GetAddress(),
		Incarnation:     m.GetIncarnation(),
		DataCentre:      m.GetDataCentre(),
		Rack:            m.GetRack(),
		Slots:           int(m.GetSlots()),
		Connections:     int(m.GetConnections()),
		Resources:       ResourcesFromRPC(m.GetResources()),
		Serves:          mapSlice(m.GetServes(), servedFromRPC),
		State:           state.MemberState(m.GetState()),
		FirstIndex:      m.GetFirstIndex(),
		RegisteredIndex: m.GetRegisteredIndex(),
		Ended:           fromUnixMS(m.GetEndedUnixMs()),
		EndedIndex:      m.GetEndedIndex(),
		Revision:        m.GetRevision(),
		Ops:             m.GetOps(),
	}
}

func servedToRPC(k state.ServedKind) *rpc.ServedKind {
	return &rpc.ServedKind{Service: k.Service, Kind: k.Kind}
}

func servedFromRPC(k *rpc.ServedKind) state.ServedKind {
	return state.ServedKind{Service: k.Service, Kind: k.Kind}
}

// ViewToRPC encodes the changes that a watcher has not received.
func ViewToRPC(v state.View) *rpc.WatchResponse {
	return &rpc.WatchResponse{
		Revision:  v.Revision,
		Full:      v.Full,
		Services:  mapSlice(v.Services, serviceToRPC),
		Quotas:    mapSlice(v.Quotas, quotaToRPC),
		Drains:    mapSlice(v.Drains, drainToRPC),
		Limits:    limitsToRPC(v.Limits),
		Members:   mapSlice(v.Members, MemberToRPC),
		TakenOver: RecordsToRPC(v.TakenOver),
	}
}

// ViewFromRPC decodes the changes that a watcher has not received.
func ViewFromRPC(w *rpc.WatchResponse) state.View {
	return state.View{
		Revision:  w.GetRevision(),
		Full:      w.GetFull(),
		Services:  mapSlice(w.GetServices(), serviceFromRPC),
		Quotas:    mapSlice(w.GetQuotas(), quotaFromRPC),
		Drains:    mapSlice(w.GetDrains(), drainFromRPC),
		Limits:    limitsFromRPC(w.GetLimits()),
		Members:   mapSlice(w.GetMembers(), MemberFromRPC),
		TakenOver: RecordsFromRPC(w.GetTakenOver()),
	}
}
