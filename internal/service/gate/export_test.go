package gate

// LameDuck is the time for which a drained gate goes on refusing.
const LameDuck = lameDuck
