package sweep

// recordedPrograms are the names under which records keep programs, by their present names: all recorded runs compare, also those from
// before the programs were renamed. Kinds of messages are recorded by their labels in the metrics, which never changed.
var recordedPrograms = map[string]string{"proxy": "carrier", "registry": "sorter", "configstore": "postmaster"}
