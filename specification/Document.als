/**
 * Model of the versions of one stage of an environment document.
 *
 * Operators edit concurrently, the store may apply a write late or never, responses may be lost,
 * reads of the store may be stale, and instances send versions to each other in any order.
 * DocumentStore implements the writes, and EnvironmentHolder the activation.
 */
module Document
open util/ordering[Version]

sig Version {}

sig Change {
  var base: lone Version -- version that the operator edited; none for the first document
}

sig Instance {
  var active: lone Version
}

one sig Store {
  var current: lone Version,
  var written: Version -> lone Change, -- rows of the history
  var accepted: set Change             -- changes that were reported as accepted
}

var sig InFlight in Change {} -- changes whose write the store may still apply

-- Mutations of the protocol that a check must detect; the protocol itself has none of them.
abstract sig Mutant {}
lone sig WriteWithoutComparing, AdoptWithoutComparing extends Mutant {}

fun next_[v: lone Version]: lone Version { no v implies first else next[v] }

pred unchangedStore { current' = current and written' = written }
pred unchangedRest { active' = active and InFlight' = InFlight and base' = base }

pred init {
  no current and no written and no accepted and no active and no InFlight and no base
}

-- A write carries the operator's expected version, which may come from a stale read.
pred write[c: Change, v: lone Version] {
  c not in InFlight and c not in Version.(Store.written)
  v in Store.current or v in (Store.written).Change or no v
  InFlight' = InFlight + c
  base' = (base - c->Version) + c->v
  unchangedStore and accepted' = accepted and active' = active
}

-- The store compares the revision of the current row and writes the current row and the history row
-- in one transaction.
pred applyWrite[c: Change] {
  c in InFlight
  InFlight' = InFlight - c and base' = base
  let v = next_[c.base] {
    (some v and (c.base = Store.current or some WriteWithoutComparing))
      implies (Store.current' = v
        and Store.written' = (Store.written - v->Change) + v->c)
      else unchangedStore
  }
  accepted' = accepted and active' = active
}

-- The operator receives the acceptance after an instance has read the change's history row.
pred accept[c: Change] {
  c in Version.(Store.written)
  Store.accepted' = Store.accepted + c
  unchangedStore and unchangedRest
}

-- An instance activates a version that it read from the store, stale or not, or received from a
-- peer.
pred adopt[i: Instance, v: Version] {
  v in (Store.written).Change
  (no i.active or gt[v, i.active] or some AdoptWithoutComparing)
  active' = (active - i->Version) + i->v
  unchangedStore and accepted' = accepted and InFlight' = InFlight and base' = base
}

pred stutter { unchangedStore and accepted' = accepted and unchangedRest }

fact behaviour {
  init
  always (stutter
    or some c: Change |
      applyWrite[c] or accept[c] or write[c, none] or (some v: Version | write[c, v])
    or some i: Instance, v: Version | adopt[i, v])
}

-- An accepted change stays in the history under its version.
pred acceptedStays {
  always all c: Store.accepted | always c in Version.(Store.written)
}

-- The active version of an instance never decreases.
pred neverReverts {
  always all i: Instance | no i.active or (some i.active' and gte[i.active', i.active])
}

AcceptedStays: check { no Mutant implies acceptedStays }
  for 3 but 3 Change, 3 Version, 1 Instance, 1..9 steps
NeverReverts: check { no Mutant implies neverReverts }
  for 3 but 2 Change, 3 Version, 2 Instance, 1..9 steps
CanBecomeActive: run { no Mutant and eventually (all i: Instance | i.active = first.next) }
  for 3 but 2 Change, 2 Version, 2 Instance, 1..10 steps
MutantWriteWithoutComparing: check { (some WriteWithoutComparing and one Mutant) implies acceptedStays }
  for 3 but 2 Change, 2 Version, 1 Instance, 1..9 steps
MutantAdoptWithoutComparing: check { (some AdoptWithoutComparing and one Mutant) implies neverReverts }
  for 3 but 2 Change, 2 Version, 1 Instance, 1..10 steps
