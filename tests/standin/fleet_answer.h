/* Answers of a target stand-in, with the faults that spoil them. */
#ifndef STANDIN_FLEET_ANSWER_H
#define STANDIN_FLEET_ANSWER_H

#include "fleet.h"

/* Sends the answer for @j, which ended as @end, on @c. */
void answer_send(struct endpoint *p, struct http_conn *c, const struct job *j,
		 enum job_end end, int64_t now_us);

#endif
