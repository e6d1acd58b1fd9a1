/* Generic conversion of messages by their descriptors, so that the schema is
 * defined only once, in proto/: YAML text to message, message to JSON. */
#ifndef WP_PB_H
#define WP_PB_H

#include "wp_base.h"

#include <jansson.h>
#include <protobuf-c/protobuf-c.h>

/* Parses one YAML document into a new message of `type`. A field that is
   unknown, missing, or of the wrong type gives an error "FILE:LINE: field: what
   is expected", with `file` as its FILE. A repeated Label is written as a
   mapping. Free the result with protobuf_c_message_free_unpacked(). */
ProtobufCMessage *wp_yaml_read(const ProtobufCMessageDescriptor *type,
                               WPStr text, const char *file, GError **error);

/* Returns the message as a new JSON object. Strings, messages and members of a
   oneof that are not set are left out. */
json_t *wp_pb_json(const ProtobufCMessage *m);

/* Returns the serialized message; free with g_byte_array_unref(). */
GByteArray *wp_pb_pack(const ProtobufCMessage *m);

/* Returns a deep copy; free with wp_pb_free(). */
void *wp_pb_copy(const ProtobufCMessage *m);

static inline void wp_pb_free(void *m)
{
    if (m)
        protobuf_c_message_free_unpacked(m, NULL);
}

/* The address of a field in message `m`, by its field descriptor `f`. */
#define WP_FIELD(m, f) ((char *)(m) + (f)->offset)

#endif
