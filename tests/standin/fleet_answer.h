/* Answers of a target stand-in, and the faults that change them. */
#ifndef STANDIN_FLEET_ANSWER_H
#define STANDIN_FLEET_ANSWER_H

#include "fleet.h"

/* Sends the answer of @j, which ended as @end, on the connection @c. */
void answer_send(struct endpoint *p, struct http_conn *c, const struct job *j,
		 enum job_end end, int64_t now_us);

#endif
