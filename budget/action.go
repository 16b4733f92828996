package budget

// Action is what a rule wants to be done. The interface is sealed.
type Action interface{ isAction() }

// Actions are the actions of a rule in their order.
type Actions []Action

// The actions.
type (
	// StopConnection ends what a connection is doing in a phase.
	StopConnection struct {
		Holder *Holder
		Phase  Phase
	}
	// ShareChanged means that a share has begun or ceased to have too little room.
	ShareChanged struct {
		Share   Share
		Limited bool
	}
	// PoolChanged means that a pool has begun or ceased to be full.
	PoolChanged struct {
		Pool    Pool
		Limited bool
	}
)

func (StopConnection) isAction() {}
func (ShareChanged) isAction()   {}
func (PoolChanged) isAction()    {}
