/*
 * Account of the memory that large messages hold in the whole process, and the
 * decisions that depend on it. It answers two loads: targets, or callers, that
 * send much at once, and callers that take large answers slowly. Small messages
 * always go on. Of a large one no more is read while three quarters of the limit
 * are held, so that its sender waits; a new request is refused when all of it is
 * held. Unfinished answers may hold half of it; beyond that the service that
 * holds most gives up its longest one, so that no service loses its answers to
 * another's. No I/O; holds are changed by the thread that owns them.
 */
#ifndef MEMORY_ACCOUNT_H
#define MEMORY_ACCOUNT_H

#include <stddef.h>
#include <stdint.h>

/*
 * A message below this size is read whatever the account says, and not counted:
 * the number of connections bounds the sum of these.
 */
#define MEMORY_SMALL_BYTES 16384

struct memory_account {
	_Atomic int64_t held_bytes;
	/* More than 0. */
	int64_t limit_bytes;
};

/* The part of the account that one owner holds; zeroed before first use. */
struct memory_hold {
	/* NULL: the owner is in no account. */
	struct memory_account *account;
	size_t bytes;
};

/*
 * The owner holds @bytes from now on, and counts them in @a, unless they are few;
 * NULL: nowhere.
 */
void memory_hold_set(struct memory_hold *h, struct memory_account *a,
		     size_t bytes);
/* The owner of @to, which holds nothing, takes over what that of @from holds. */
void memory_hold_move(struct memory_hold *to, struct memory_hold *from);
void memory_hold_release(struct memory_hold *h);

/* 1 if more may be read of a message that holds @bytes; @a may be NULL. */
int memory_may_read(const struct memory_account *a, size_t bytes);
/* 1 if another request may be handled; @a may be NULL. */
int memory_may_begin(const struct memory_account *a);
/* Bytes that unfinished answers may hold together; @a may be NULL. */
size_t memory_unfinished_max(const struct memory_account *a);

/* An unfinished answer. */
struct memory_claim {
	/* Number of the service that it belongs to. */
	uint32_t service;
	size_t bytes;
};

/*
 * The claim that is to be given up: the largest one of the service whose claims
 * are the largest together. @count is at least 1, services are below
 * @service_count.
 */
uint32_t memory_pick(const struct memory_claim *claims, uint32_t count,
		     uint32_t service_count);

#endif
