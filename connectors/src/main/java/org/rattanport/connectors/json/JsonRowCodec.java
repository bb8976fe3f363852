package org.rattanport.connectors.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.platform.RowCodec;

/** Encodes the records of stored rows as JSON. */
public final class JsonRowCodec implements RowCodec {
    @Override
    public String encode(Record value) {
        return Json.toJsonString(value);
    }

    @Override
    public <T extends Record> T decode(String json, Class<T> type) {
        try {
            return Json.MAPPER.readValue(json, type);
        } catch (JsonProcessingException e) {
            throw RattanportException.builder(
                            ErrorCode.INTERNAL,
                            "the row does not contain a "
                                    + type.getSimpleName()
                                    + ": "
                                    + Json.describeError(e))
                    .cause(e)
                    .build();
        }
    }
}
