#include "duty/peer.h"

#include <stdlib.h>

void peer_datagram_free(struct peer_datagram *d)
{
	if (!d)
		return;
	free(d->to);
	free(d);
}

void peer_items_free(struct peer_items *p)
{
	if (!p)
		return;
	cfg_delta_free(p->delta);
	free(p);
}
