package cluster

import (
	"papayaquay/core/ledger"
	"papayaquay/core/table"
)

// requesterKey identifies a call whose answer is pending here.
type requesterKey struct {
	from   string // address of the requester
	number uint64 // of the call at the requester
}

// proposalRow is a proposed command whose requester waits for the answer.
type proposalRow struct {
	term      uint64
	requester requesterKey
}

// readRow is a read that waits until a quorum confirms the leader.
type readRow struct {
	term   uint64
	round  uint64
	answer func(confirmed bool)
}

// proposals holds the calls that wait for the hosted ledger.
type proposals struct {
	rows  *table.Table[uint64, proposalRow] // by log index
	reads []readRow
}

// newProposals returns an empty table.
func newProposals() *proposals { return &proposals{rows: table.New[uint64, proposalRow]()} }

// add keeps a requester until the entry at index is applied.
func (p *proposals) add(index, term uint64, requester requesterKey) {
	p.rows.Put(index, proposalRow{term: term, requester: requester})
}

// applied removes and returns the requester that waits for an entry; waiting is
// false if there is none. sameTerm is false if the entry of another leader is at
// this index instead of the proposed one.
func (p *proposals) applied(entry ledger.Entry) (requester requesterKey, sameTerm, waiting bool) {
	row := p.rows.Get(entry.Index())
	if row == nil {
		return requesterKey{}, false, false
	}
	requester, sameTerm = row.requester, row.term == entry.Term()
	p.rows.Remove(entry.Index())
	return requester, sameTerm, true
}

// removeAll removes all requesters and calls visit for each. They must ask the
// new leader.
func (p *proposals) removeAll(visit func(requesterKey)) {
	p.rows.Each(func(index uint64, row *proposalRow) {
		requester := row.requester
		p.rows.Remove(index)
		visit(requester)
	})
}

// answerReads answers the reads whose quorum round has ended. confirmed reports
// whether the round confirmed the leader, or never will.
func (p *proposals) answerReads(confirmed func(term, round uint64) (ok, lost bool)) {
	pending := p.reads
	p.reads = nil
	for _, r := range pending {
		ok, lost := confirmed(r.term, r.round)
		if !ok && !lost {
			p.reads = append(p.reads, r)
			continue
		}
		r.answer(ok)
	}
}
