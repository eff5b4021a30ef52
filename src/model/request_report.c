#include "model/request_report.h"

void request_report_free(struct request_report *r)
{
	if (!r)
		return;
	free(r->versions);
	free(r->customers);
	free(r->notices);
	free(r);
}
