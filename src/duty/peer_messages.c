#include "duty/peer_messages.h"

#include <pthread.h>
#include <signal.h>
#include <stdlib.h>

void heartbeat_datagram_free(struct heartbeat_datagram *d)
{
	if (!d)
		return;
	free(d->receivers);
	free(d);
}

void config_fetch_result_free(struct config_fetch_result *result)
{
	if (!result)
		return;
	cfg_delta_free(result->delta);
	free(result);
}

void peer_block_sigpipe(void)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGPIPE);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
}
