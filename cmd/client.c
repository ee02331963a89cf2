#include "cmd/client.h"
#include "base/json.h"
#include "base/transfer.h"

#include <curl/curl.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REQUEST_TIMEOUT_MS 12000L

static enum seam_err_kind kind_by_name(const char *name)
{
	int k;

	for (k = 0; k < SEAM_ERR_KINDS; k++)
		if (!strcmp(seam_err_kind_info(k)->name, name))
			return (enum seam_err_kind)k;
	return SEAM_INTERNAL;
}

static struct json_object *parse_response(const char *text, long status,
					  struct seam_err *e)
{
	struct json_object *o = text ? json_tokener_parse(text) : NULL;
	struct json_object *err;

	if (status < 400 && o)
		return o;
	if (o && json_object_object_get_ex(o, "error", &err))
		seam_fail(e, kind_by_name(seam_json_str(err, "kind", "")), "%s",
			  seam_json_str(err, "message", ""));
	else
		seam_fail(e, SEAM_UNAVAILABLE,
			  "HTTP status %ld without a usable JSON body", status);
	json_object_put(o);
	return NULL;
}

struct json_object *seam_client_call(const struct seam_client *c,
				     const char *method, const char *path,
				     const char *body, struct seam_err *e)
{
	CURL *curl = curl_easy_init();
	struct curl_slist *headers = NULL;
	struct seam_transfer response = {.max = SIZE_MAX};
	struct json_object *answer = NULL;
	char url[1024];
	char auth[512];
	long status = 0;
	CURLcode rc;

	snprintf(url, sizeof(url), "%s%s", c->url, path);
	snprintf(auth, sizeof(auth), "Authorization: Bearer %s", c->key);
	headers = curl_slist_append(headers, auth);
	headers = curl_slist_append(headers, "Content-Type: application/json");
	headers = curl_slist_append(headers, "Expect:");
	curl_easy_setopt(curl, CURLOPT_URL, url);
	seam_transfer_setup(curl, &response);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, REQUEST_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	if (body)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	rc = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	if (rc != CURLE_OK)
		seam_fail(e, SEAM_UNAVAILABLE, "%s: %s", c->url,
			  curl_easy_strerror(rc));
	else
		answer = parse_response(response.body, status, e);
	curl_slist_free_all(headers);
	curl_easy_cleanup(curl);
	free(response.body);
	return answer;
}
