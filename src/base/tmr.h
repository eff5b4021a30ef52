/*
 * Timer service that parts subscribe to. It reads no clock: the owner passes
 * the time in, so tests drive it with a virtual clock. One thread owns it.
 */
#ifndef TMR_H
#define TMR_H

#include <stdint.h>

struct tmr;

typedef void tmr_fn(void *ctx, int64_t now_us);

/* Subscription; embedded in the subscriber and zeroed before first use. */
struct tmr_sub {
	int64_t at_us;
	uint64_t order;
	tmr_fn *fn;
	void *ctx;
	/* Heap position plus one; 0 when not armed. */
	uint32_t pos;
};

struct tmr *tmr_new(void);
void tmr_free(struct tmr *t);

/* Arms @sub for @at_us, or moves it when it is already armed. */
void tmr_arm(struct tmr *t, struct tmr_sub *sub, int64_t at_us, tmr_fn *fn,
	     void *ctx);
/* Does nothing when @sub is not armed. */
void tmr_cancel(struct tmr *t, struct tmr_sub *sub);
/* Time of the next subscription in us, or -1 when there is none. */
int64_t tmr_next_us(const struct tmr *t);
/* Runs what is due at @now_us in order of time, then of arming. */
void tmr_run(struct tmr *t, int64_t now_us);

#endif
