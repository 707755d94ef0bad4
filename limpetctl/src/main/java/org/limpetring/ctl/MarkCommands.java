package org.limpetring.ctl;

import org.limpetring.base.ResultCode;
import org.limpetring.store.ObjectStore;
import org.limpetring.store.ReadResult;
import org.limpetring.store.WriteResult;
import org.limpetring.tables.ConfigKeys;

/** Takes failure domains and hosts out of service and puts them back; both are idempotent. */
final class MarkCommands {

  private final ObjectStore store;

  MarkCommands(ObjectStore store) {
    this.store = store;
  }

  Report takeOut(String key) {
    ReadResult read = store.get(key);
    if (read instanceof ReadResult.Unavailable unavailable) {
      return Report.error(ResultCode.PLATFORM_UNAVAILABLE, unavailable.reason());
    }
    if (read instanceof ReadResult.Found) {
      return Report.success(key + " is already out of service", null);
    }
    return reportWrite(store.put(key, ConfigKeys.OUT_VALUE, 0), key, "out of service");
  }

  Report putBack(String key) {
    ReadResult read = store.get(key);
    if (read instanceof ReadResult.Unavailable unavailable) {
      return Report.error(ResultCode.PLATFORM_UNAVAILABLE, unavailable.reason());
    }
    if (!(read instanceof ReadResult.Found found)) {
      return Report.success(key + " is already in service", null);
    }
    return reportWrite(store.delete(key, found.object().version()), key, "back in service");
  }

  private Report reportWrite(WriteResult result, String key, String state) {
    if (result instanceof WriteResult.Written) {
      return Report.success(key + " is " + state, null);
    }
    if (result instanceof WriteResult.Conflict) {
      return Report.error(ResultCode.TABLE_CONFLICT, key + " was changed by another operator");
    }
    if (result instanceof WriteResult.Unavailable unavailable) {
      return Report.error(ResultCode.PLATFORM_UNAVAILABLE, unavailable.reason());
    }
    return Report.error(ResultCode.PLATFORM_UNKNOWN, "run the command again to confirm");
  }
}
