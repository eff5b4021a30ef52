#include "base/signals.h"

#include <errno.h>
#include <time.h>

#include "base/clock.h"
#include "base/util.h"

static const int handled[] = { SIGTERM, SIGINT, SIGHUP };

static void fill(sigset_t *set)
{
	uint32_t i;

	sigemptyset(set);
	for (i = 0; i < countof(handled); i++)
		sigaddset(set, handled[i]);
}

void signals_block(void)
{
	sigset_t set;

	fill(&set);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

void signals_unblock(void)
{
	sigset_t set;

	fill(&set);
	pthread_sigmask(SIG_UNBLOCK, &set, NULL);
	signal(SIGPIPE, SIG_DFL);
}

void signals_init(sigset_t *set)
{
	signals_block();
	fill(set);
}

int signals_wait(const sigset_t *set, int64_t wait_ms)
{
	int64_t until_us = clock_now_us() + wait_ms * US_PER_MS;
	int64_t left_us = wait_ms * US_PER_MS;
	int signal_no;

	do {
		struct timespec ts = { .tv_sec = left_us / US_PER_S,
				       .tv_nsec = left_us % US_PER_S * 1000 };

		signal_no = sigtimedwait(set, NULL, &ts);
		left_us = util_max_i64(until_us - clock_now_us(), 0);
		/* SIGCONT after a pause interrupts the wait. */
	} while (signal_no < 0 && errno == EINTR && left_us > 0);
	return signal_no > 0 ? signal_no : 0;
}
