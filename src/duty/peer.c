#include "duty/peer.h"

#include <pthread.h>
#include <signal.h>
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

void peer_block_sigpipe(void)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGPIPE);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
}
