package org.limpetring.daemon.admission;

import org.limpetring.routing.cold.ColdNotice;
import org.limpetring.routing.poison.CrashNotice;

/** Brings notices to all daemons. */
public interface NoticePort {

  /** Spreads word of a group that turned cold or proved warm. */
  void spread(ColdNotice notice);

  /** Spreads word of a request that was in progress at a crash. */
  void spread(CrashNotice notice);
}
